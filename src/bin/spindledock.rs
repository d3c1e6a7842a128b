use spindledock::cli::run;

fn main() -> std::process::ExitCode {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        println!("{}", run::HELP);
        return 0.into();
    }
    let rt = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    rt.block_on(run::run(args)).into()
}
