"""Order of waiting steps by the teams' rates and shares, for pools that are short of capacity."""
