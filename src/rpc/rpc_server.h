/// \file JSON-RPC methods served over any transport.
#ifndef SNIPESHUNT_RPC_RPC_SERVER_H
#define SNIPESHUNT_RPC_RPC_SERVER_H

#include <json/json.h>

#include <functional>
#include <memory>
#include <string>

namespace snipeshunt {

/// Dispatches JSON-RPC 2.0 requests to methods, by libjsonrpccpp.
class RpcServer {
public:
  /// Gets the parameter `message` and gives the result.
  using Method = std::function<Json::Value(const Json::Value &)>;

  RpcServer();
  ~RpcServer();

  void bind(const std::string &Name, Method Function);
  /// Handles one request and gives the response text.
  std::string handle(const std::string &Request);

private:
  class Dispatcher;
  class Connector;
  std::unique_ptr<Connector> Transport;
  std::unique_ptr<Dispatcher> Methods;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_RPC_RPC_SERVER_H
