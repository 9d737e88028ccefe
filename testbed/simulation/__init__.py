"""The same day in virtual time: the real decisions against modelled servers, network and clients."""
