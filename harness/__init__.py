"""Run benchmarks and fault experiments on local processes."""
