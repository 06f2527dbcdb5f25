"""How near each team comes to its share when the fleet is full."""
