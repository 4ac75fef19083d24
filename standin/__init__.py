"""Small programs that stand in for what surrounds the daemons."""
