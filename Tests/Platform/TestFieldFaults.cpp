// SPDX-License-Identifier: BSD-2-Clause
#include "../../platform/Records.h"
#include <LibRouting/EngineTimingModel.h>
#include <LibRouting/RouteTable.h>
#include <LibSchema/Json.h>
#include <functional>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

// Each field of a record in turn is removed, renamed or given another type. Everything that does not depend on it must stay in force, and
// every refusal must be a typed error.

using namespace PlatformAdapter;
using Json = nlohmann::json;
using Pointer = Json::json_pointer;

static Json configuration_record()
{
    return Json::parse(R"({"Version":7,"Routes":[
        {"Name":"stream","Host":"a.example","PathPrefix":"/s/","Kind":"stream","TimeoutMs":6000,"TargetLatencyMs":400,"Priority":1,"Service":"engines","MaxAttempts":2,"Public":false,"Sticky":true,"Resumable":true,"TargetGapMs":300},
        {"Name":"split","Host":"b.example","PathPrefix":"/x/","Kind":"unsafe","TimeoutMs":1500,"TargetLatencyMs":300,"Priority":2,"Split":[{"Service":"plain","Weight":90},{"Service":"second","Weight":10}],"MaxAttempts":1,"Public":true},
        {"Name":"safe","Host":"b.example","PathPrefix":"/x/y/","Kind":"safe","TimeoutMs":1500,"TargetLatencyMs":300,"Priority":2,"Service":"second","MaxAttempts":2,"Public":false}],
      "Services":[
        {"Name":"engines","HealthPath":"/health","MaxConns":374,"Protocol":"h1","Tls":false,"Engine":{"Slots":16,"KvCapacity":1640000,"Stride":5,"Models":[{"Name":"m","pace":1.0,"LoadS":4.0}],"step_ms":8.87,"per_seq_ms":0.04,"context_per_k":0.02,"read_per_s":19100.0,"pairs_per_m":1.5,"chunk":2048,"usual":{"prompt":977,"answer":94},"layers":16,"Chunks":64,"ChunkBytes":32768}},
        {"Name":"origin","Origin":"172.20.0.3:8006","Zone":"z","LinkMbps":9.9,"MaxConns":48},
        {"Name":"plain","HealthPath":"/health","MaxConns":110},{"Name":"second","HealthPath":"/health","MaxConns":110}],
      "Limits":{"MaxHeaderBytes":100,"MaxBodyBytes":200,"HeaderTimeoutMs":300,"IdleTimeoutMs":400},
      "Tenants":[{"Name":"c","ApiKeys":["k","l"],"Priority":1},{"Name":"d","ApiKeys":["m"]}]})");
}

static Json server_record()
{
    return Json::parse(R"({"Service":"engines","Address":"10.0.0.9:80","Zone":"z","Version":"v1","Slots":16,"State":"ready","ColdLeftMs":0,"Stage":"both","Models":[{"Name":"m","Version":3,"Adapters":[]}],"layers":{"From":0,"TargetVersion":16,"Version":3},"CallSeq":4,"born":1796600000123})");
}

static Json report_record()
{
    return Json::parse(R"({"Stage":"both","Models":[{"Name":"m","Version":3,"Adapters":[]}],"layers":{"From":0,"TargetVersion":16,"Version":3},"Busy":false,"CallSeq":2,"Waiting":1,"Running":12,"KvUsed":41000,"KvTotal":90000,"Handles":0,"pace":1.5,"born":1796600000123})");
}

/// Returns the paths of all fields, elements and nested fields of a record.
static std::vector<std::string> paths_within(Json const& value, std::string const& prefix = "")
{
    std::vector<std::string> paths;
    auto add = [&](std::string const& name, Json const& child) {
        auto const path = prefix + "/" + name;
        paths.push_back(path);
        auto const inner = paths_within(child, path);
        paths.insert(paths.end(), inner.begin(), inner.end());
    };
    if (value.is_object()) {
        for (auto const& [name, child] : value.items())
            add(name, child);
    } else if (value.is_array()) {
        for (size_t i = 0; i < value.size(); ++i)
            add(std::to_string(i), value[i]);
    }
    return paths;
}

struct Fault {
    std::string path;
    std::string what;
    Json record;
};

static Json without(Json record, Pointer const& pointer)
{
    auto& parent = record[pointer.parent_pointer()];
    if (parent.is_array())
        parent.erase(parent.begin() + std::stol(pointer.back()));
    else
        parent.erase(pointer.back());
    return record;
}

static std::vector<Json> other_types(Json const& value)
{
    std::vector<Json> const all { nullptr, true, -5, 0.5, 1e300, "word", Json::array({ 1 }), Json { { "x", 1 } } };
    std::vector<Json> others;
    for (auto const& other : all) {
        // A whole number in place of a fraction is valid.
        if (other.type() != value.type() && !(other.is_number() && value.is_number() && other >= 0 && other == std::floor(other.get<double>())))
            others.push_back(other);
    }
    return others;
}

static std::vector<Fault> faults_at(Json const& record, std::string const& path)
{
    Pointer const pointer(path);
    std::vector<Fault> faults { { path, "dropped", without(record, pointer) } };
    if (record[pointer.parent_pointer()].is_object()) {
        auto renamed = without(record, pointer);
        renamed[pointer.parent_pointer()][pointer.back() + "Other"] = record[pointer];
        faults.push_back({ path, "renamed", std::move(renamed) });
    }
    for (auto const& other : other_types(record[pointer])) {
        auto retyped = record;
        retyped[pointer] = other;
        faults.push_back({ path, "became " + other.dump(), std::move(retyped) });
    }
    return faults;
}

static std::vector<Fault> faults_of(Json const& record)
{
    std::vector<Fault> faults;
    for (auto const& path : paths_within(record)) {
        auto at = faults_at(record, path);
        std::move(at.begin(), at.end(), std::back_inserter(faults));
    }
    return faults;
}

static bool is_typed_reason(Core::Error const& error)
{
    return error.code == Core::ErrorCode::UnreadableField && !error.detail.empty();
}

/// Returns the route of a request for a host and path as text; "blocked" if the request would be refused.
static std::string route_text(Schema::RoutingConfiguration const& configuration, char const* host, char const* path)
{
    Routing::RouteTable const table(std::make_shared<Schema::RoutingConfiguration const>(configuration));
    auto const* route = table.find(host, path);
    if (!route)
        return "none";
    if (route->is_blocked)
        return "blocked";
    auto targets = route->path_prefix;
    for (auto const& target : route->targets)
        targets += " " + target.service;
    return targets;
}

static bool is_refused_or_same(std::string const& found, std::string const& right)
{
    return found == right || found == "blocked";
}

// Without these fields the record as a whole is refused.
static std::set<std::string> const needed_for_any { "/Version", "/Routes", "/Services", "/Tenants" };

/// The same holds for a route that is not an object, as it may cover any request.
static bool is_needed_for_any(std::string const& path)
{
    return needed_for_any.contains(path) || Pointer(path).parent_pointer().to_string() == "/Routes";
}

TEST(FieldFaults, ABadFieldOfTheConfigurationDisablesOnlyWhatDependsOnIt)
{
    auto const whole = read_configuration(configuration_record().dump(), CustomerKeys::Expected);
    ASSERT_TRUE(whole.has_value());
    EXPECT_TRUE(whole->unreadable_fields.empty());
    for (auto const& fault : faults_of(configuration_record())) {
        auto const what = fault.path + " " + fault.what;
        auto const read = read_configuration(fault.record.dump(), CustomerKeys::Expected);
        if (!read.has_value()) {
            EXPECT_TRUE(is_needed_for_any(fault.path)) << what << ": " << read.error().detail;
            EXPECT_TRUE(is_typed_reason(read.error())) << what;
            continue;
        }
        // Routes and services other than the damaged one are unchanged.
        bool const is_about_stream = fault.path.starts_with("/Routes/0") || fault.path.starts_with("/Services/0") || fault.path == "/Routes/0";
        if (!is_about_stream && !fault.path.starts_with("/Routes")) {
            EXPECT_EQ(route_text(*read, "a.example", "/s/1"), "/s/ engines") << what;
        }
        if (fault.path.starts_with("/Routes/0/") && fault.path != "/Routes/0/Host") {
            EXPECT_EQ(route_text(*read, "b.example", "/x/y/1"), "/x/y/ second") << what;
        }
        // A request never takes a route that it would not take with the undamaged record.
        if (fault.what != "dropped" || !Pointer(fault.path).parent_pointer().to_string().ends_with("Routes")) {
            EXPECT_TRUE(is_refused_or_same(route_text(*read, "b.example", "/x/y/1"), "/x/y/ second")) << what;
            EXPECT_NE(route_text(*read, "b.example", "/x/1"), "none") << what;
        }
        // No further caller is admitted, and a caller whose key may be among the undecodable ones is not denied.
        Routing::RouteTable const table(std::make_shared<Schema::RoutingConfiguration const>(*read));
        EXPECT_TRUE(read->has_customers) << what;
        for (auto const* key : { "k", "l", "m" }) {
            auto const* customer = table.customer_of(key);
            bool const is_dropped_whole = fault.what == "dropped" && fault.path.starts_with("/Tenants/");
            EXPECT_TRUE(customer || read->has_unreadable_customers || is_dropped_whole) << what << " " << key;
            EXPECT_TRUE(!customer || customer->name == (std::string(key) == "m" ? "d" : "c")) << what << " " << key;
        }
    }
}

TEST(FieldFaults, AnUndecodableRateIsReportedAndTheServiceStaysInUse)
{
    std::set<std::string> const rates { "Slots", "Stride", "step_ms", "per_seq_ms", "context_per_k", "read_per_s", "pairs_per_m", "layers", "usual" };
    for (auto const& fault : faults_of(configuration_record())) {
        std::string const engine = "/Services/0/Engine/";
        if (!fault.path.starts_with(engine) || !rates.contains(fault.path.substr(engine.size())))
            continue;
        auto const read = read_configuration(fault.record.dump(), CustomerKeys::Expected);
        ASSERT_TRUE(read.has_value()) << fault.path;
        EXPECT_EQ(route_text(*read, "a.example", "/s/1"), "/s/ engines") << fault.path;
        EXPECT_FALSE(read->unreadable_fields.empty()) << fault.path << " " << fault.what;
        ASSERT_TRUE(read->services[0].timing.has_value());
        EXPECT_GT(Routing::EngineTimingModel(*read->services[0].timing).usual_service_ms(), 0) << fault.path << " " << fault.what;
    }
}

TEST(FieldFaults, AConfigurationWithoutRequiredCustomersIsRefused)
{
    auto record = configuration_record();
    record.erase("Tenants");
    EXPECT_TRUE(is_typed_reason(read_configuration(record.dump(), CustomerKeys::Expected).error()));
    EXPECT_FALSE(read_configuration(record.dump(), CustomerKeys::NotExpected)->has_customers);
}

TEST(FieldFaults, ARouteWithoutHostAndPathRefusesTheConfiguration)
{
    auto record = configuration_record();
    record["Routes"][0].erase("Host");
    EXPECT_EQ(route_text(*read_configuration(record.dump(), CustomerKeys::Expected), "b.example", "/s/1"), "blocked");
    record["Routes"][0].erase("PathPrefix");
    EXPECT_TRUE(is_typed_reason(read_configuration(record.dump(), CustomerKeys::Expected).error()));
}

/// Checks that a start time that cannot be decoded is left out, not guessed.
static void expect_start(std::optional<int64_t> started_at_ms, std::string const& faulty_path)
{
    EXPECT_EQ(started_at_ms, faulty_path == "/born" ? std::nullopt : std::optional<int64_t>(1796600000123)) << faulty_path;
}

TEST(FieldFaults, ABadFieldOfAServerLeavesItListedOrDraining)
{
    std::set<std::string> const needed { "/Service", "/Address" };
    for (auto const& fault : faults_of(server_record())) {
        auto const what = fault.path + " " + fault.what;
        auto const read = read_server("i-1", fault.record.dump());
        if (!read.has_value()) {
            EXPECT_TRUE(needed.contains(fault.path)) << what;
            EXPECT_TRUE(is_typed_reason(read.error())) << what;
            continue;
        }
        EXPECT_EQ(read->service, "engines") << what;
        EXPECT_EQ(read->is_draining, fault.path == "/State") << what;
        expect_start(read->started_at_ms, fault.path);
        bool const is_about_model = fault.path.starts_with("/Models") || fault.path.starts_with("/layers");
        if (!is_about_model) {
            EXPECT_EQ(read->held.at(0).version, 3) << what;
        }
        // A version is never guessed.
        for (auto const& held : read->held)
            EXPECT_TRUE(held.version == 3 || fault.path.starts_with("/layers") || fault.path.starts_with("/Models")) << what;
    }
}

TEST(FieldFaults, ABadFieldOfAReportDoesNotAffectTheOthers)
{
    for (auto const& fault : faults_of(report_record())) {
        auto const what = fault.path + " " + fault.what;
        auto const read = read_report(fault.record.dump());
        ASSERT_TRUE(read.has_value()) << what;
        bool const is_about_model = fault.path.starts_with("/Models") || fault.path.starts_with("/layers");
        if (!is_about_model) {
            EXPECT_EQ(read->held.at(0).version, 3) << what;
        }
        if (fault.path != "/Running") {
            EXPECT_EQ(read->running, 12) << what;
        }
        if (fault.path == "/CallSeq") {
            EXPECT_EQ(read->order_sequence, std::nullopt) << what;
        }
        expect_start(read->started_at_ms, fault.path);
    }
}

TEST(FieldFaults, ANamedVersionRequiresOnlyItsNumber)
{
    Json const record { { "Model", "m" }, { "Version", 4 } };
    for (auto const& fault : faults_of(record)) {
        auto const read = read_version("m", fault.record.dump());
        EXPECT_EQ(read.has_value(), fault.path == "/Model") << fault.path << " " << fault.what;
        if (read.has_value()) {
            EXPECT_EQ(read->model, "m");
        } else {
            EXPECT_TRUE(is_typed_reason(read.error()));
        }
    }
}

RC_GTEST_PROP(FieldFaults, SeveralFaultsAtOnceNeverCrashTheProcess, ())
{
    auto record = *rc::gen::element(configuration_record(), server_record(), report_record());
    auto const count = *rc::gen::inRange(1, 6);
    for (int i = 0; i < count; ++i) {
        auto const paths = paths_within(record);
        if (paths.empty())
            break;
        auto const faults = faults_at(record, *rc::gen::elementOf(paths));
        record = faults.at(*rc::gen::inRange<size_t>(0, faults.size())).record;
    }
    auto const body = record.dump();
    auto const configuration = read_configuration(body, *rc::gen::element(CustomerKeys::Expected, CustomerKeys::NotExpected));
    RC_ASSERT(configuration.has_value() || !configuration.error().detail.empty());
    if (configuration.has_value()) {
        // A peer can decode the configuration that it is sent.
        auto const again = Schema::from_text<Schema::RoutingConfiguration>(Schema::to_text(*configuration));
        RC_ASSERT(again.has_value());
        (void)route_text(*again, "a.example", "/s/1");
    }
    (void)read_server("i-1", body);
    (void)read_report(body);
    (void)read_version("m", body);
    (void)read_manifest(body);
}
