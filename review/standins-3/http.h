// A small HTTP/1.1 server and client for the cases, with blocking sockets and a
// thread for each connection.

#ifndef POMELORING_REVIEW_STANDINS_3_HTTP_H_
#define POMELORING_REVIEW_STANDINS_3_HTTP_H_

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace review {

struct Request {
  std::string method;
  std::string target;
  std::map<std::string, std::string> fields;  // By lower-case name.
  std::string body;

  std::string Field(const std::string& name) const;
  // Of the query; not decoded.
  std::string Parameter(const std::string& name) const;
  std::string Path() const;
};

// Serves one request on the connected socket. Returns false if the connection
// is to be closed.
using Handler = std::function<bool(int socket, const Request& request)>;

// Listens on IP:port and serves for as long as the process runs. Ends the
// process with 2 if the address can't be used.
void Serve(const std::string& address, Handler handler);

// Returns false if the other side has closed the connection.
bool SendAll(int socket, const std::string& bytes);
// Sends a whole reply with the length of `body`.
bool SendReply(int socket,
               int status,
               const std::string& more_fields,
               const std::string& body);

struct Reply {
  int status = 0;  // 0: no reply.
  std::map<std::string, std::string> fields;
  std::string body;
  bool is_whole = false;
};

// Calls `on_bytes`, if set, with each part of the body as it arrives; it
// returns false to close the connection.
Reply Exchange(
    const std::string& address,
    const std::string& request,
    int timeout_ms,
    const std::function<bool(const std::string& bytes)>& on_bytes = {});

}  // namespace review

#endif  // POMELORING_REVIEW_STANDINS_3_HTTP_H_
