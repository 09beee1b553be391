"""A process's own figures: counted in plain numbers, made into text only when asked for."""
