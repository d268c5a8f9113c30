// wigeonctl: publishes changes of the configuration and shows the state in force.

#include <fstream>
#include <iostream>
#include <sstream>

#include <google/protobuf/struct.pb.h>
#include <httplib.h>

#include "base/error_kind.h"
#include "base/json.h"
#include "base/network.h"
#include "base/settings.h"
#include "replica/replica.h"

namespace wigeon {

namespace {

constexpr int refused_exit_code = 1;
constexpr int unknown_exit_code = 3;
constexpr int unreachable_exit_code = 4;

constexpr const char* usage = "wigeonctl SUBCOMMAND [flags]\n\n"
                              "Changes (need --log_address):\n"
                              "  publish FILE            publish a whole version as JSON, against --base_version\n"
                              "  patch FILE              publish a patch as JSON, against --base_version\n"
                              "  drain worker|executor ID    give it no new work (against the version in force)\n"
                              "  undrain worker|executor ID  give it work again\n"
                              "Views (need --scheduler_address):\n"
                              "  show                    the configuration in force\n"
                              "  status                  version, term and job counts\n"
                              "  fleet                   free, borrowed and guaranteed accelerators by rack\n"
                              "  accounts                what each account's guarantee is bound to\n"
                              "  job explain ACCOUNT/KEY what a job waits for\n\n"
                              "Exit codes: 0 done; 1 refused; 2 wrong usage; 3 outcome unknown, ask again; 4 no answer";

[[noreturn]] void fail_usage(const std::string& line)
{
    std::cerr << "wigeonctl: " << line << "; see wigeonctl --help\n";
    std::exit(usage_exit_code);
}

std::string read_file(const std::string& path)
{
    const std::ifstream file(path);
    if (!file)
        fail_usage("cannot read '" + path + "'");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

using google::protobuf::Value;

std::string format_value(const Value& value)
{
    switch (value.kind_case()) {
    case Value::kStringValue:
        return value.string_value();
    case Value::kNumberValue: {
        std::ostringstream text;
        text.precision(15);
        text << value.number_value();
        return text.str();
    }
    case Value::kBoolValue:
        return value.bool_value() ? "true" : "false";
    default:
        return format_json(value);
    }
}

void print_rows(const google::protobuf::ListValue& rows)
{
    std::vector<std::string> columns;
    std::map<std::string, std::size_t> widths;
    for (const Value& row : rows.values()) {
        for (const auto& [name, value] : row.struct_value().fields()) {
            if (!widths.contains(name))
                columns.push_back(name);
            widths[name] = std::max({widths[name], name.size(), format_value(value).size()});
        }
    }
    std::sort(columns.begin(), columns.end());
    const auto pad = [&](const std::string& column, const std::string& text) {
        std::cout << text << std::string(widths[column] + 2 - std::min(widths[column] + 2, text.size()), ' ');
    };
    for (const std::string& column : columns)
        pad(column, column);
    std::cout << '\n';
    for (const Value& row : rows.values()) {
        const auto& fields = row.struct_value().fields();
        for (const std::string& column : columns)
            pad(column, fields.contains(column) ? format_value(fields.at(column)) : "");
        std::cout << '\n';
    }
}

void print(const std::string& json, const ControlSettings& settings)
{
    if (settings.output() == "json") {
        std::cout << json << '\n';
        return;
    }
    Value value;
    parse_json(json, value);
    if (value.has_list_value()) {
        print_rows(value.list_value());
        return;
    }
    const std::map<std::string, Value> sorted(value.struct_value().fields().begin(),
                                              value.struct_value().fields().end());
    for (const auto& [name, field] : sorted)
        std::cout << name << ": " << format_value(field) << '\n';
}

int print_view(const std::string& path, const ControlSettings& settings)
{
    if (settings.scheduler_address().empty())
        fail_usage("--scheduler_address is required");
    const host_port address = parse_address(settings.scheduler_address());
    httplib::Client client(address.host, address.port);
    client.set_read_timeout(milliseconds(settings.timeout_ms()));
    client.set_connection_timeout(milliseconds(settings.timeout_ms()));
    const auto response = client.Get(path);
    if (!response || response->status != 200) {
        std::cerr << "wigeonctl: no answer from " << settings.scheduler_address() << '\n';
        return unreachable_exit_code;
    }
    print(response->body, settings);
    return 0;
}

// Appends the change to the log, waits until it is read back, and prints exactly one verdict. Returns the exit code.
int submit_change(ConfigurationChange requested, replica& state, const ControlSettings& settings, steady_time deadline)
{
    Record record;
    requested.set_operator_name(settings.operator_name());
    *record.mutable_configuration() = std::move(requested);
    json_object verdict;
    int exit_code = 0;
    try {
        const apply_result result = state.submit(std::move(record), deadline);
        const bool is_accepted = result.outcome == apply_outcome::applied;
        verdict.add("verdict", is_accepted ? "accepted" : "refused");
        verdict.add("version_in_force", result.configuration_version);
        if (result.reason) {
            verdict.add("error", find_error_response(*result.reason).name);
            verdict.add("detail", std::string_view(result.detail));
        }
        exit_code = is_accepted ? 0 : refused_exit_code;
    }
    catch (const error& failure) {
        const bool is_unknown = failure.kind() == error_kind::log_uncertain;
        verdict.add("verdict", is_unknown ? "unknown" : "not_accepted");
        verdict.add("error", find_error_response(failure.kind()).name);
        verdict.add("detail", std::string_view(failure.what()));
        exit_code = is_unknown ? unknown_exit_code : unreachable_exit_code;
    }
    print(verdict.to_string(), settings);
    return exit_code;
}

template <typename Item>
void set_draining(const google::protobuf::RepeatedPtrField<Item>& items, google::protobuf::RepeatedPtrField<Item>& put,
                  const std::string& id, bool is_draining)
{
    for (const Item& item : items) {
        if (item.id() == id) {
            *put.Add() = item;
            put.rbegin()->set_is_draining(is_draining);
            return;
        }
    }
    fail_usage("'" + id + "' is not configured");
}

ConfigurationChange make_drain_change(const std::vector<std::string>& arguments, const Configuration& current)
{
    if (arguments.size() != 3 || (arguments[1] != "worker" && arguments[1] != "executor"))
        fail_usage(arguments[0] + " takes 'worker' or 'executor' and an id");
    ConfigurationChange requested;
    requested.set_base_version(current.version());
    ConfigurationPatch& patch = *requested.mutable_patch();
    const bool is_draining = arguments[0] == "drain";
    if (arguments[1] == "worker")
        set_draining(current.workers(), *patch.mutable_put_workers(), arguments[2], is_draining);
    else
        set_draining(current.executors(), *patch.mutable_put_executors(), arguments[2], is_draining);
    return requested;
}

int run_change(const std::vector<std::string>& arguments, const ControlSettings& settings)
{
    if (settings.log_address().empty())
        fail_usage("--log_address is required");
    ConfigurationChange requested;
    requested.set_base_version(settings.base_version());
    const bool takes_file = arguments[0] == "publish" || arguments[0] == "patch";
    if (takes_file && arguments.size() != 2)
        fail_usage(arguments[0] + " takes one file");
    if (arguments[0] == "publish")
        parse_json(read_file(arguments[1]), *requested.mutable_whole());
    else if (arguments[0] == "patch")
        parse_json(read_file(arguments[1]), *requested.mutable_patch());
    const steady_time deadline = read_steady_clock() + milliseconds(settings.timeout_ms());
    replica state(
        {settings.log_address(), std::min(milliseconds(settings.timeout_ms()), milliseconds(1500)), milliseconds(0)});
    state.start([](std::uint64_t) { return StateAnswer{}; });
    while (!state.is_ready() && read_steady_clock() < deadline)
        state.wait_for_change(0, milliseconds(10));
    if (!state.is_ready()) {
        std::cerr << "wigeonctl: the log at " << settings.log_address() << " does not answer; nothing was published\n";
        return unreachable_exit_code;
    }
    if (!takes_file)
        requested = make_drain_change(
            arguments, state.read([](const replicated_state& replicated) { return replicated.configuration(); }));
    return submit_change(std::move(requested), state, settings, deadline);
}

int run(const std::vector<std::string>& arguments, const ControlSettings& settings)
{
    if (arguments.empty())
        fail_usage("a subcommand is required");
    const std::string& command = arguments[0];
    if (command == "publish" || command == "patch" || command == "drain" || command == "undrain")
        return run_change(arguments, settings);
    if (command == "job" && arguments.size() == 3 && arguments[1] == "explain")
        return print_view("/v1/explain/" + arguments[2], settings);
    const bool is_view = command == "status" || command == "fleet" || command == "accounts";
    if (is_view && arguments.size() == 1)
        return print_view("/v1/" + command, settings);
    if (command == "show" && arguments.size() == 1)
        return print_view("/v1/configuration", settings);
    fail_usage("unknown subcommand '" + command + "'");
}

} // namespace

} // namespace wigeon

int main(int argc, char** argv)
{
    wigeon::ControlSettings settings;
    wigeon::load_settings(wigeon::usage, settings, argc, argv);
    try {
        return wigeon::run({argv + 1, argv + argc}, settings);
    }
    catch (const std::exception& failure) {
        std::cerr << "wigeonctl: " << failure.what() << '\n';
        return wigeon::refused_exit_code;
    }
}
