"""The functions behind the operator subcommands."""
