"""Development tools: test upstream, local deployment, demo, tests."""
