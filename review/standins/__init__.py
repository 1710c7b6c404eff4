"""Stand-ins of the platform, of servers and of clients for the review's scripts."""
