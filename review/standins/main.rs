//! Plays one case of the review: `standins CASE FOLDER`. It starts the project's nodes as processes beside stand-ins of
//! the platform's store, the upstreams and the consumers, and writes what happened to `FOLDER/record.txt`.
//!
//! It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment the disruption is left out.

mod cases;
mod http;
mod json;
mod node;
mod record;
mod store;
mod upstream;

use std::{
    env, fs,
    path::PathBuf,
    process,
    sync::Mutex,
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use record::Record;

/// The most time that a case may take.
const MAX_TIME: Duration = Duration::from_secs(110);

/// The processes that were started, which are killed at every end.
static NODES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// The temporary folder of this run.
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// Kills what this program has started, removes the temporary folder, and exits.
pub fn end(code: i32) -> ! {
    for id in NODES.lock().unwrap().drain(..) {
        let _ = process::Command::new("kill")
            .args(["-9", &id.to_string()])
            .stderr(process::Stdio::null())
            .status();
    }
    if let Some(folder) = FOLDER.lock().unwrap().take() {
        let _ = fs::remove_dir_all(folder);
    }
    process::exit(code)
}

/// Ends a case that could not run.
pub fn give_up(record: &Record, reason: &str) -> ! {
    record.note(&format!("the case could not run: {reason}"));
    eprintln!("the case could not run: {reason}");
    end(2)
}

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: standins CASE FOLDER");
        process::exit(2);
    };
    std::panic::set_hook(Box::new(|info| {
        eprintln!("the case could not run: {info}");
        end(2);
    }));
    let record = Record::create(&format!("{folder}/record.txt"));
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let temporary = env::temp_dir().join(format!("poplarbarrow-review-{}", process::id()));
    if let Err(error) = fs::create_dir_all(&temporary) {
        give_up(&record, &format!("no temporary folder: {error}"));
    }
    *FOLDER.lock().unwrap() = Some(temporary.clone());
    let watch = record.clone();
    thread::spawn(move || {
        thread::sleep(MAX_TIME);
        give_up(&watch, "it took too long");
    });
    record.note(&format!(
        "case {case}, {} the disruption",
        if has_trouble { "with" } else { "without" }
    ));
    let is_broken = cases::play(case, &record, &temporary, has_trouble);
    let result = if is_broken { "the rule is broken" } else { "the rule held" };
    record.note(result);
    println!("{case}: {result}");
    end(i32::from(is_broken))
}
