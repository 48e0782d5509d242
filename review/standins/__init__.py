"""Stand-ins of clients, runners and the platform for the review's cases."""
