"""The time line: selecting, gathering, merging and showing events."""
