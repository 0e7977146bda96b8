//! The operators' command line.

use gatepier::cli::{Command, Options};
use gatepier::error::{EXIT_DONE, EXIT_FAILED, Error};

fn main() -> eyre::Result<()> {
    let options = match Options::from_env() {
        Ok(options) => options,
        Err(err) => exit_with(&err),
    };
    if let Command::Demo { serve } = options.command {
        let all_checks_passed = gatepier::demo::run(serve)?;
        std::process::exit(if all_checks_passed {
            EXIT_DONE
        } else {
            EXIT_FAILED
        });
    }
    match actix_rt::System::new().block_on(gatepier::operate::run(&options)) {
        Ok(output) => print!("{output}"),
        Err(err) => exit_with(&err),
    }
    Ok(())
}

fn exit_with(err: &Error) -> ! {
    eprintln!("{err}");
    std::process::exit(err.exit_code())
}
