//! `hibiscusctl`, the operators' command line tool.

use std::process::ExitCode;

use hibiscusdoor::{
    control::{self, CheckFailed, UsageError},
    findings::Findings,
};

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match control::run(pico_args::Arguments::from_env()).await {
        Ok(text) => {
            println!("{}", text.trim_end());
            ExitCode::SUCCESS
        }
        // The report is the output of the command, also where it has findings.
        Err(error) if error.is::<CheckFailed>() => {
            println!("{error}");
            ExitCode::from(EXIT_FAILED)
        }
        Err(error) => {
            eprintln!("{error:#}");
            let is_wrong_input = error.is::<Findings>()
                || error.is::<UsageError>()
                || error.is::<pico_args::Error>();
            match is_wrong_input {
                true => ExitCode::from(EXIT_USAGE),
                false => ExitCode::from(EXIT_FAILED),
            }
        }
    }
}
