"""Who waits, who gets room, and who is refused until when."""
