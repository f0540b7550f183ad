/// \file JSON-RPC server without a transport of its own.
#ifndef SNIPESHUNT_RPC_RPC_SERVER_H
#define SNIPESHUNT_RPC_RPC_SERVER_H

#include <json/json.h>

#include <functional>
#include <memory>
#include <string>

namespace snipeshunt {

/// Dispatches JSON-RPC 2.0 requests to methods, using libjsonrpccpp.
class RpcServer {
public:
  /// Receives the parameter `message` and returns the result.
  using Method = std::function<Json::Value(const Json::Value &)>;
  /// Receives all parameters besides.
  using ParameterMethod = std::function<Json::Value(
      const Json::Value &Message, const Json::Value &Parameters)>;

  RpcServer();
  ~RpcServer();

  /// Registers the method \p Name.
  void bind(const std::string &Name, Method Function);
  void bind(const std::string &Name, ParameterMethod Function);
  /// Handles the text of one request and returns the text of the response.
  std::string handle(const std::string &Request);

private:
  class Dispatcher;
  class Connector;
  std::unique_ptr<Connector> Transport; ///< Receives the responses.
  std::unique_ptr<Dispatcher> Methods;
};

} // namespace snipeshunt

#endif // SNIPESHUNT_RPC_RPC_SERVER_H
