//! `hickoryreel-fuzz`: parses arguments and runs the fuzzing.

fn main() {}
