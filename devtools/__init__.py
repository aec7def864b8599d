"""Development tools: stand-in upstream, local deployment, demo, tests."""
