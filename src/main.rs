//! The `cicadashift` program.

fn main() {
    cicadashift::memory::configure_allocator();
    let args = std::env::args_os().skip(1).collect();
    std::process::exit(cicadashift::cli::run(args));
}
