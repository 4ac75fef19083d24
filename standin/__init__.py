"""Programs that replace the services around the daemons in tests."""
