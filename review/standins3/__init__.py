"""Stand-ins of the third review: store, servers, clients and gateway processes."""
