"""Settings of the documentation build."""

project = 'burdocklead'
extensions = ['myst_parser']
myst_enable_extensions = ['colon_fence']
myst_heading_anchors = 3
html_theme = 'alabaster'
exclude_patterns = ['_build']
