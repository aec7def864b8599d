"""Timeline of events: selection, collection, merging and rendering."""
