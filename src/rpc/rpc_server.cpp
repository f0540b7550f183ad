/// \file JSON-RPC server without a transport of its own.
#include "rpc/rpc_server.h"

#include <jsonrpccpp/server.h>

#include <map>

namespace snipeshunt {

namespace {

// Response with the code that JSON-RPC 2.0 defines for parse errors.
constexpr char ParseErrorResponse[] =
    R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,)"
    R"("message":"the request is malformed; send one JSON-RPC object"}})";

} // namespace

/// Transport that keeps the response in memory. The connectors of the library
/// block or start threads, so the single-threaded event loop can't use them.
class RpcServer::Connector : public jsonrpc::AbstractServerConnector {
public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string &Text, void *Target) override {
    *static_cast<std::string *>(Target) = Text;
    return true;
  }
};

/// Calls the methods for the library's protocol handler.
class RpcServer::Dispatcher : public jsonrpc::IProcedureInvokationHandler {
public:
  explicit Dispatcher(jsonrpc::AbstractServerConnector &Transport)
      : Handler(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this)) {
    Transport.SetHandler(Handler.get());
  }

  void bind(const std::string &Name, ParameterMethod Function) {
    Methods[Name] = std::move(Function);
    jsonrpc::Procedure Described(Name, jsonrpc::PARAMS_BY_NAME,
                                 jsonrpc::JSON_OBJECT, "message",
                                 jsonrpc::JSON_OBJECT, NULL);
    Handler->AddProcedure(Described);
  }

  void HandleMethodCall(jsonrpc::Procedure &Called, const Json::Value &Input,
                        Json::Value &Output) override {
    Output = Methods[Called.GetProcedureName()](Input["message"], Input);
  }
  void HandleNotificationCall(jsonrpc::Procedure &,
                              const Json::Value &) override {}

private:
  std::map<std::string, ParameterMethod> Methods;
  std::unique_ptr<jsonrpc::IProtocolHandler> Handler;
};

RpcServer::RpcServer()
    : Transport(std::make_unique<Connector>()),
      Methods(std::make_unique<Dispatcher>(*Transport)) {}

RpcServer::~RpcServer() = default;

void RpcServer::bind(const std::string &Name, Method Function) {
  Methods->bind(Name, [Function = std::move(Function)](
                          const Json::Value &Message, const Json::Value &) {
    return Function(Message);
  });
}

void RpcServer::bind(const std::string &Name, ParameterMethod Function) {
  Methods->bind(Name, std::move(Function));
}

std::string RpcServer::handle(const std::string &Request) {
  // jsoncpp throws an exception on excessive nesting, which libjsonrpccpp
  // passes on. It must not end the process.
  try {
    std::string Response;
    Transport->OnRequest(Request, &Response);
    return Response;
  } catch (const std::exception &) {
    return ParseErrorResponse;
  }
}

} // namespace snipeshunt
