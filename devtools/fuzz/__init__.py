"""Fuzzers; each module that defines ``run_fuzzer`` is one."""
