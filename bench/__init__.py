"""The data path's cost beside an earlier commit and a bare relay: `make bench`."""
