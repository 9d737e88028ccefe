"""What each role costs as the tier grows: measured samples, slopes through them, and the page of both."""
