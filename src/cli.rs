//! Command-line parsing for the programs.

use std::{
    env,
    io::{self, Write, stderr, stdout},
    process::ExitCode,
};

use gumdrop::Options;

/// The exit code for a command line that cannot be parsed.
const USAGE_ERROR: u8 = 2;

/// Parses the command line of a program and prints the help to standard output; `gumdrop` itself prints it to standard
/// error.
///
/// # Errors
///
/// Returns the exit code: 0 after printing the help, 1 if it cannot be printed, or 2 after reporting an invalid command
/// line.
pub fn parse<T: Options>(program: &str) -> Result<T, ExitCode> {
    let args: Vec<String> = env::args().skip(1).collect();
    let options = T::parse_args_default(&args).map_err(|e| {
        let _ = writeln!(stderr(), "{program}: {e}; see --help");
        ExitCode::from(USAGE_ERROR)
    })?;
    if !options.help_requested() {
        return Ok(options);
    }
    Err(match print_help(program, &options, &mut stdout()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    })
}

fn print_help(program: &str, options: &dyn Options, out: &mut impl Write) -> io::Result<()> {
    write!(out, "Usage: {program}")?;
    let mut selected = options;
    while let Some(command) = selected.command() {
        if let Some(name) = command.command_name() {
            write!(out, " {name}")?;
        }
        selected = command;
    }
    let commands = selected.self_command_list();
    let rest = if commands.is_some() { "[OPTIONS] COMMAND" } else { "[OPTIONS]" };
    writeln!(out, " {rest}\n\n{}", selected.self_usage())?;
    match commands {
        Some(commands) => writeln!(out, "\nAvailable commands:\n{commands}"),
        None => Ok(()),
    }
}
