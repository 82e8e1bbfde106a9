//! The operators' tool.

use std::process::ExitCode;

use hibiscusdoor::{control, findings::Findings};

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{}", control::USAGE);
        return ExitCode::SUCCESS;
    }
    match control::run(arguments).await {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error:#}");
            match error.is::<Findings>() || error.is::<pico_args::Error>() {
                true => ExitCode::from(EXIT_USAGE),
                false => ExitCode::from(EXIT_FAILED),
            }
        }
    }
}
