//! Entry point of `baobabreel`.

use std::process::ExitCode;

use baobabreel_cli::commands::{Printed, run};
use baobabreel_cli::context::connect;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let printed = match runtime {
        Ok(runtime) => runtime.block_on(run(&args, connect)),
        Err(e) => Printed::failed(&format!("failed to start: {e}")),
    };
    print!("{}", printed.stdout);
    eprint!("{}", printed.stderr);
    ExitCode::from(printed.code)
}
