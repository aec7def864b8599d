"""Fuzzers: every module here that defines ``run_fuzzer``."""
