"""The operators' HTTP interface: configuration, history, status, explain."""
