/// \file
/// Options of TCP connections to targets and between hosts.
#pragma once

namespace shallotlatch {

/// Sets the options that all these connections have: no delay of small writes,
/// and probes that find a machine that answers no more within about three
/// seconds.
void setTcpOptions(int Fd);
/// Whether \p Error, of a socket, says that no answer came to what was sent,
/// rather than that the other side ended the connection.
bool isUnanswered(int Error);
/// Whether the other side has confirmed all bytes that were written to the
/// socket, and has not reset the connection since.
bool isAllReceived(int Fd);

} // namespace shallotlatch
