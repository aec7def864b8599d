"""Implementation of the operator subcommands."""
