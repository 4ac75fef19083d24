"""Programs that take the place of real services in tests of the daemons."""
