"""Stateful fuzzers; each module with a ``run_fuzzer`` function is one."""
