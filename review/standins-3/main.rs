//! Stand-ins and scenarios of the review's scripts: `standins-3 CASE FOLDER`.
//!
//! It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` in the environment the
//! disruption is left out.

mod caller;
mod crash;
mod http;
mod json;
mod node;
mod record;
mod store;
mod upstream;

use std::path::PathBuf;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: standins-3 CASE FOLDER");
        std::process::exit(2);
    };
    let folder = PathBuf::from(folder);
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let run = match case.as_str() {
        "crash" => crash::run,
        "caller" => caller::run,
        _ => {
            eprintln!("unknown case {case}");
            std::process::exit(2);
        }
    };
    // A panic of the scenario unwinds, which ends the nodes that it started.
    let code = std::panic::catch_unwind(|| run(&folder, has_trouble)).unwrap_or(2);
    std::process::exit(code);
}
