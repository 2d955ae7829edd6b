//! The `cicadashift` program.

fn main() {
    cicadashift::memory::give_back();
    let args = std::env::args_os().skip(1).collect();
    std::process::exit(cicadashift::cli::run(args));
}
