// Registers a gflags flag for each described field and checks the values against the schema.

#include "base/settings.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include <gflags/gflags.h>

#include "base/network.h"
#include "base/version.h"
#include "wigeon.pb.h"

namespace wigeon {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

// One field of the settings and its flag. All flags are registered as strings and checked against type and range here
// instead of by gflags, so that every bad value gives the same one-line message and exit code.
struct setting_entry {
    const FieldDescriptor* field = nullptr;
    Message* owner = nullptr;
    SettingOptions options;
    std::string help;
    std::string value;
    std::string default_value;
};

[[noreturn]] void exit_with_usage_error(const std::string& line)
{
    std::cerr << line << '\n';
    std::exit(usage_exit_code);
}

void collect_settings(Message& message, std::deque<setting_entry>& entries)
{
    const auto* descriptor = message.GetDescriptor();
    for (int i = 0; i < descriptor->field_count(); ++i) {
        const FieldDescriptor* field = descriptor->field(i);
        if (field->cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
            collect_settings(*message.GetReflection()->MutableMessage(&message, field), entries);
            continue;
        }
        setting_entry entry;
        entry.field = field;
        entry.owner = &message;
        entry.options = field->options().GetExtension(wigeon::setting);
        entry.default_value = entry.options.default_value();
        entry.value = entry.default_value;
        entries.push_back(std::move(entry));
    }
}

std::string describe_range(const SettingOptions& options)
{
    std::ostringstream text;
    text.precision(12);
    text << options.minimum() << " to " << options.maximum();
    if (!options.unit().empty())
        text << ' ' << options.unit();
    return text.str();
}

double parse_number(const setting_entry& entry)
{
    double number = 0;
    const char* end = entry.value.data() + entry.value.size();
    const auto parsed = std::from_chars(entry.value.data(), end, number);
    const bool has_valid_form = entry.field->cpp_type() == FieldDescriptor::CPPTYPE_DOUBLE ||
                                entry.value.find_first_not_of("0123456789") == std::string::npos;
    const bool is_number = parsed.ec == std::errc() && parsed.ptr == end && has_valid_form;
    if (!is_number || number < entry.options.minimum() || number > entry.options.maximum())
        exit_with_usage_error("flag --" + entry.field->name() + ": '" + entry.value + "' is not in the allowed range " +
                              describe_range(entry.options));
    return number;
}

void check_choice(const setting_entry& entry)
{
    const std::string& choices = entry.options.choices();
    const std::vector<std::string> allowed = split_list(choices, '|');
    if (!choices.empty() && std::find(allowed.begin(), allowed.end(), entry.value) == allowed.end())
        exit_with_usage_error("flag --" + entry.field->name() + ": '" + entry.value + "' is not one of " + choices);
}

void apply_value(const setting_entry& entry)
{
    const auto* reflection = entry.owner->GetReflection();
    switch (entry.field->cpp_type()) {
    case FieldDescriptor::CPPTYPE_UINT32:
        reflection->SetUInt32(entry.owner, entry.field, static_cast<std::uint32_t>(parse_number(entry)));
        return;
    case FieldDescriptor::CPPTYPE_DOUBLE:
        reflection->SetDouble(entry.owner, entry.field, parse_number(entry));
        return;
    default:
        check_choice(entry);
        if (entry.options.required() && entry.value.empty())
            exit_with_usage_error("flag --" + entry.field->name() +
                                  ": '' is not allowed, the flag is required: " + entry.options.help());
        reflection->SetString(entry.owner, entry.field, entry.value);
    }
}

std::string make_environment_name(const std::string& field)
{
    std::string name = "WIGEON_";
    for (const char c : field)
        name += static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    return name;
}

void print_help(std::string_view usage, const std::deque<setting_entry>& settings)
{
    std::cout << usage << "\n\nFlags (the environment variable of --name is WIGEON_NAME):\n";
    for (const setting_entry& entry : settings) {
        std::cout << "  --" << entry.field->name() << "  " << entry.options.help();
        if (entry.options.maximum() > 0)
            std::cout << "; " << describe_range(entry.options);
        else if (!entry.options.unit().empty())
            std::cout << "; " << entry.options.unit();
        if (entry.options.required())
            std::cout << "; required";
        else
            std::cout << "; default '" << entry.default_value << "'";
        std::cout << '\n';
    }
    std::cout << "  --help  print this page\n  --version  print the version\n";
}

// Detects unknown flags and missing values before gflags does, which would exit with another code.
void check_flag_names(int argc, char** argv, const std::deque<setting_entry>& settings)
{
    for (int i = 1; i < argc; ++i) {
        const std::string_view argument = argv[i];
        if (!argument.starts_with("-") || argument == "-")
            continue;
        const std::string_view flag = argument.substr(argument.find_first_not_of('-') == 2 ? 2 : 1);
        const std::string_view name = flag.substr(0, flag.find('='));
        const bool is_known = std::any_of(settings.begin(), settings.end(),
                                          [name](const setting_entry& entry) { return entry.field->name() == name; });
        if (!is_known)
            exit_with_usage_error("flag --" + std::string(name) + ": no such flag; see --help");
        if (flag.find('=') == std::string_view::npos && ++i == argc)
            exit_with_usage_error("flag --" + std::string(name) + ": the value is missing");
    }
}

} // namespace

void load_settings(std::string_view usage, Message& settings, int& argc, char**& argv)
{
    // Static, since gflags keeps pointers to the registered values until the process exits.
    static std::deque<setting_entry> entries;
    collect_settings(settings, entries);
    for (setting_entry& entry : entries) {
        entry.help = entry.options.help();
        google::FlagRegisterer(entry.field->name().c_str(), entry.help.c_str(), "settings", &entry.value,
                               &entry.default_value);
    }
    for (int i = 1; i < argc; ++i) {
        const std::string_view argument = argv[i];
        if (argument == "--help" || argument == "-help") {
            print_help(usage, entries);
            std::exit(0);
        }
        if (argument == "--version" || argument == "-version") {
            std::cout << version_text << '\n';
            std::exit(0);
        }
    }
    check_flag_names(argc, argv, entries);
    google::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    for (setting_entry& entry : entries) {
        const bool is_set = !google::GetCommandLineFlagInfoOrDie(entry.field->name().c_str()).is_default;
        const char* variable = std::getenv(make_environment_name(entry.field->name()).c_str());
        if (!is_set && variable != nullptr)
            entry.value = variable;
        apply_value(entry);
    }
}

} // namespace wigeon
