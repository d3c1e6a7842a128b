use spindledock::standin::control;

fn main() -> std::process::ExitCode {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        println!("{}", control::HELP);
        return 0.into();
    }
    let done = match args.subcommand() {
        Ok(Some(what)) if what == "runner" => {
            let rt = tokio::runtime::Runtime::new().expect("threads");
            rt.block_on(control::run(args))
        }
        _ => Err("name what to stand in for: runner; see --help".to_string()),
    };
    match done {
        Ok(()) => 0.into(),
        Err(why) => {
            eprintln!("spindledock-standin: {why}");
            2.into()
        }
    }
}
