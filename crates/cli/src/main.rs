//! Entry point of the `baobabreel` command.

use std::process::ExitCode;

use baobabreel_cli::commands::{CommandOutput, run};
use baobabreel_cli::context::connect;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let output = match runtime {
        Ok(runtime) => runtime.block_on(run(&args, connect)),
        Err(e) => {
            CommandOutput::startup_failure(&format!("failed to start the async runtime: {e}"))
        }
    };
    print!("{}", output.stdout);
    eprint!("{}", output.stderr);
    ExitCode::from(output.code)
}
