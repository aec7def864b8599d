"""Development tools: simulated upstream, local deployment, demo, tests."""
