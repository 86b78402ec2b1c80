//! The scripts of the second review: `cases CASE FOLDER` plays a case and writes `record.txt` into the folder.
//!
//! It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in its
//! environment the disruption is left out.

mod chunked;
mod http;
mod json;
mod leaving;
mod node;
mod pipelined;
mod record;
mod store;
mod upstream;

use std::{env, path::PathBuf, process::ExitCode, thread, time::Duration};

/// The longest time that a script takes. It ends then with all processes that it started.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// The outcome of a case.
pub enum Outcome {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let mut args = env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next().map(PathBuf::from)) else {
        eprintln!("usage: cases CASE FOLDER");
        return ExitCode::from(2);
    };
    let is_disturbed = env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let record = record::Record::create(&folder.join("record.txt"));
    let temporary = env::temp_dir().join(format!("review-{}", std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() {
        return ExitCode::from(2);
    }
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        node::end_all();
        std::process::exit(2);
    });
    let outcome = match case.as_str() {
        "chunked" => chunked::play(is_disturbed, &temporary, &record),
        "leaving" => leaving::play(is_disturbed, &temporary, &record),
        "pipelined" => pipelined::play(is_disturbed, &temporary, &record),
        _ => Outcome::NotRun,
    };
    if env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    let (name, code) = match outcome {
        Outcome::Held => ("held", 0),
        Outcome::Broken => ("broken", 1),
        Outcome::NotRun => ("not-run", 2),
    };
    record.write(&format!("outcome={name}"));
    println!("{name}");
    ExitCode::from(code)
}
