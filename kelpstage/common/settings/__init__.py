"""Settings of the daemons: loading, validation and bounds."""
