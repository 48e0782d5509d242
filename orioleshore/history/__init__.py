"""The story of a subject, told from log files."""
