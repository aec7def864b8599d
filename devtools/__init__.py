"""Development tools: fake upstream, local deployment, demo, test runner."""
