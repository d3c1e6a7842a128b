fn main() -> std::process::ExitCode {
    spindledock::daemon::run::main(spindledock::msg::Role::Controller)
}
