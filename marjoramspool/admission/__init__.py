"""Who waits, who is refused and who comes next when there is not enough room."""
