//! Generates the Rust code in `ragwortlb-rpc/src/generated` from the protocol files.
//! Run it after changing one of them: `cargo run -p ragwortlb-protogen`.

use std::{error::Error, path::Path};

fn main() -> Result<(), Box<dyn Error>> {
    let rpc = Path::new(env!("CARGO_MANIFEST_DIR")).join("../ragwortlb-rpc");
    let files = protox::compile(["ragwortlb.proto"], [rpc.join("proto")])?;
    tonic_prost_build::configure().out_dir(rpc.join("src/generated")).compile_fds(files)?;
    Ok(())
}
