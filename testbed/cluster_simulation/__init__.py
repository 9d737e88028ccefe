"""A cluster in virtual time: the sidecars' own membership, hundreds of members and faults between them."""
