#include "wire.h"

#include <map>

namespace mimosahollow::control {

namespace {

/** String table: adapters refer to their base models by number, so that each name is stored once. */
struct BaseNames
{
    std::map<std::string, std::uint16_t, std::less<>> numbers;
    std::vector<std::string> names;

    std::uint16_t numberOf(const std::string &name)
    {
        const auto [position, isNew] = numbers.try_emplace(name, static_cast<std::uint16_t>(names.size()));
        if (isNew) {
            names.push_back(name);
        }
        return position->second;
    }
};

Offset<wire::Domain> pack(Builder &builder, const FailureDomain &domain)
{
    return wire::CreateDomain(builder, number(domain.id), builder.CreateString(domain.name), domain.share, domain.outOfService);
}

Offset<wire::Organisation> pack(Builder &builder, const Organisation &organisation)
{
    return wire::CreateOrganisation(
        builder, number(organisation.id), builder.CreateString(organisation.name), organisation.rate, organisation.burst, organisation.weight);
}

Offset<wire::ApiKey> pack(Builder &builder, const ApiKey &key)
{
    const auto name = builder.CreateString(key.name);
    return wire::CreateApiKey(builder, name, packBytes(builder, key.hash), number(key.organisation));
}

Offset<wire::Route> pack(Builder &builder, const Route &route)
{
    const auto prefix = builder.CreateString(route.prefix);
    const auto service = builder.CreateString(route.service);
    const auto organisations = packIds(builder, route.organisations);
    const auto deadline = std::chrono::duration_cast<std::chrono::microseconds>(route.deadline).count();
    return wire::CreateRoute(builder, prefix, service, route.repeatable, route.open, deadline, organisations);
}

Offset<wire::Server> pack(Builder &builder, const BackendServer &server)
{
    const auto name = builder.CreateString(server.name);
    const auto kind = builder.CreateString(server.kind);
    const auto address = builder.CreateString(server.address);
    return wire::CreateServer(builder, number(server.id), name, number(server.domain), kind, address, server.outOfService);
}

Offset<wire::Instance> pack(Builder &builder, const Instance &instance)
{
    const auto name = builder.CreateString(instance.name);
    const auto address = builder.CreateString(instance.address);
    return wire::CreateInstance(builder, number(instance.id), name, number(instance.domain), address, instance.incarnation, instance.registrationIndex);
}

Offset<wire::Pool> pack(Builder &builder, const Pool &pool)
{
    return wire::CreatePool(builder, number(pool.id), number(pool.domain), builder.CreateString(pool.kind), number(pool.owner), pool.fencing);
}

Offset<wire::BucketOwner> pack(Builder &builder, const BucketOwner &owner)
{
    return wire::CreateBucketOwner(builder, number(owner.domain), number(owner.owner), owner.fencing);
}

Offset<wire::Adapter> pack(Builder &builder, const Adapter &adapter, BaseNames &bases)
{
    const auto name = builder.CreateString(adapter.name);
    const auto version = builder.CreateString(adapter.version);
    const auto organisations = packIds(builder, adapter.organisations);
    return wire::CreateAdapter(builder, number(adapter.id), bases.numberOf(adapter.baseModel), name, version, adapter.isDefault, organisations);
}

template<typename Table, typename List>
Offset<WireTables<Table>> packList(Builder &builder, const List &list)
{
    return packAll<Table>(builder, list, [&builder](const auto &element) {
        return pack(builder, element);
    });
}

template<typename List>
Offset<WireTables<wire::Adapter>> packAdapters(Builder &builder, const List &list, BaseNames &bases)
{
    return packAll<wire::Adapter>(builder, list, [&builder, &bases](const Adapter &adapter) {
        return pack(builder, adapter, bases);
    });
}

void unpack(WireReader &reader, const wire::Domain &table, FailureDomain &domain)
{
    domain = {static_cast<DomainId>(table.id()), reader.text(table.name()), table.share(), table.out()};
}

void unpack(WireReader &reader, const wire::Organisation &table, Organisation &organisation)
{
    organisation = {static_cast<OrganisationId>(table.id()), reader.text(table.name()), table.rate(), table.burst(), table.weight()};
}

void unpack(WireReader &reader, const wire::ApiKey &table, ApiKey &key)
{
    key.name = reader.text(table.name());
    reader.bytes(table.hash(), key.hash);
    key.organisation = static_cast<OrganisationId>(table.organisation());
}

void unpack(WireReader &reader, const wire::Route &table, Route &route)
{
    // One hour in microseconds, longer than any deadline; much larger values would overflow when converted to nanoseconds.
    constexpr std::int64_t maximumDeadline = 3'600'000'000;
    reader.failed = reader.failed || table.deadline_us() < 0 || table.deadline_us() > maximumDeadline;
    if (reader.failed) {
        return;
    }
    route = {reader.text(table.prefix()),
             reader.text(table.service()),
             table.repeatable(),
             table.open(),
             std::chrono::microseconds(table.deadline_us()),
             reader.ids<OrganisationId>(table.organisations())};
}

void unpack(WireReader &reader, const wire::Server &table, BackendServer &server)
{
    server = {static_cast<ServerId>(table.id()),
              reader.text(table.name()),
              static_cast<DomainId>(table.domain()),
              reader.text(table.kind()),
              reader.text(table.address()),
              table.out()};
}

void unpack(WireReader &reader, const wire::Instance &table, Instance &instance)
{
    instance = {static_cast<InstanceId>(table.id()),
                reader.text(table.name()),
                static_cast<DomainId>(table.domain()),
                reader.text(table.address()),
                table.process(),
                table.since()};
}

void unpack(WireReader &reader, const wire::Pool &table, Pool &pool)
{
    pool = {static_cast<PoolId>(table.id()),
            static_cast<DomainId>(table.domain()),
            reader.text(table.kind()),
            static_cast<InstanceId>(table.owner()),
            table.fencing()};
}

void unpack(WireReader & /*reader*/, const wire::BucketOwner &table, BucketOwner &owner)
{
    owner = {static_cast<DomainId>(table.domain()), static_cast<InstanceId>(table.owner()), table.fencing()};
}

template<typename Table, typename Element>
void unpackList(WireReader &reader, const WireTables<Table> *list, std::vector<Element> &to)
{
    to.reserve(list != nullptr ? list->size() : 0);
    reader.forEach(list, [&reader, &to](const Table &table) {
        unpack(reader, table, to.emplace_back());
    });
}

template<typename List>
void unpackAdapters(WireReader &reader, const WireTables<wire::Adapter> *list, const WireTables<flatbuffers::String> *baseList, List &to)
{
    const std::vector<std::string> bases = reader.texts(baseList);
    reader.forEach(list, [&](const wire::Adapter &table) {
        if (table.base() >= bases.size()) {
            reader.failed = true;
            return;
        }
        Adapter adapter{
            static_cast<AdapterId>(table.id()), bases[table.base()], reader.text(table.name()), reader.text(table.version()), table.is_default(), {}};
        adapter.organisations = reader.ids<OrganisationId>(table.organisations());
        to.push_back(std::move(adapter));
    });
}

} // namespace

Offset<wire::Configuration> packConfiguration(Builder &builder, const Configuration &configuration)
{
    BaseNames bases;
    const auto baseModels = packTexts(builder, configuration.baseModels);
    const auto domains = packList<wire::Domain>(builder, configuration.domains);
    const auto organisations = packList<wire::Organisation>(builder, configuration.organisations);
    const auto keys = packList<wire::ApiKey>(builder, configuration.keys);
    const auto adapters = packAdapters(builder, configuration.adapters, bases);
    const auto adapterBases = packTexts(builder, bases.names);
    const auto routes = packList<wire::Route>(builder, configuration.routes);
    const auto servers = packList<wire::Server>(builder, configuration.servers);
    const auto pools = packList<wire::Pool>(builder, configuration.pools);
    const auto bucketOwners = packList<wire::BucketOwner>(builder, configuration.bucketOwners);
    const auto instances = packList<wire::Instance>(builder, configuration.instances);
    wire::ConfigurationBuilder table(builder);
    table.add_version(configuration.version);
    table.add_log_index(configuration.logIndex);
    table.add_base_models(baseModels);
    table.add_domains(domains);
    table.add_organisations(organisations);
    table.add_keys(keys);
    table.add_adapter_bases(adapterBases);
    table.add_adapters(adapters);
    table.add_routes(routes);
    table.add_servers(servers);
    table.add_pools(pools);
    table.add_bucket_owners(bucketOwners);
    table.add_instances(instances);
    table.add_load_rate(configuration.loadRate);
    table.add_loads_in_flight(configuration.loadsInFlight);
    return table.Finish();
}

Configuration unpackConfiguration(WireReader &reader, const wire::Configuration &table)
{
    Configuration configuration;
    configuration.version = table.version();
    configuration.logIndex = table.log_index();
    configuration.baseModels = reader.texts(table.base_models());
    unpackList(reader, table.domains(), configuration.domains);
    unpackList(reader, table.organisations(), configuration.organisations);
    unpackList(reader, table.keys(), configuration.keys);
    unpackAdapters(reader, table.adapters(), table.adapter_bases(), configuration.adapters);
    unpackList(reader, table.routes(), configuration.routes);
    unpackList(reader, table.servers(), configuration.servers);
    unpackList(reader, table.pools(), configuration.pools);
    unpackList(reader, table.bucket_owners(), configuration.bucketOwners);
    unpackList(reader, table.instances(), configuration.instances);
    configuration.loadRate = table.load_rate();
    configuration.loadsInFlight = table.loads_in_flight();
    return configuration;
}

Offset<wire::Increment> packIncrement(Builder &builder, const Increment &increment)
{
    BaseNames bases;
    const auto baseModels = packTexts(builder, increment.baseModels.value_or(std::vector<std::string>()));
    const auto routes = packList<wire::Route>(builder, increment.routes.value_or(std::vector<Route>()));
    const auto domains = packList<wire::Domain>(builder, increment.domains.changed);
    const auto removedDomains = packIds(builder, increment.domains.removed);
    const auto organisations = packList<wire::Organisation>(builder, increment.organisations.changed);
    const auto removedOrganisations = packIds(builder, increment.organisations.removed);
    const auto keys = packList<wire::ApiKey>(builder, increment.keys.changed);
    const auto removedKeys = packAll<wire::Hash>(builder, increment.keys.removed, [&builder](const KeyHash &hash) {
        return wire::CreateHash(builder, packBytes(builder, hash));
    });
    const auto adapters = packAdapters(builder, increment.adapters.changed, bases);
    const auto adapterBases = packTexts(builder, bases.names);
    const auto removedAdapters = packIds(builder, increment.adapters.removed);
    const auto servers = packList<wire::Server>(builder, increment.servers.changed);
    const auto removedServers = packIds(builder, increment.servers.removed);
    const auto pools = packList<wire::Pool>(builder, increment.pools.changed);
    const auto removedPools = packIds(builder, increment.pools.removed);
    const auto bucketOwners = packList<wire::BucketOwner>(builder, increment.bucketOwners.changed);
    const auto removedBucketOwners = packIds(builder, increment.bucketOwners.removed);
    const auto instances = packList<wire::Instance>(builder, increment.instances.changed);
    const auto removedInstances = packIds(builder, increment.instances.removed);
    wire::IncrementBuilder table(builder);
    table.add_from(increment.from);
    table.add_to(increment.to);
    table.add_version(increment.version);
    table.add_load_rate(increment.loadRate);
    table.add_loads_in_flight(increment.loadsInFlight);
    table.add_has_base_models(increment.baseModels.has_value());
    table.add_base_models(baseModels);
    table.add_has_routes(increment.routes.has_value());
    table.add_routes(routes);
    table.add_domains(domains);
    table.add_removed_domains(removedDomains);
    table.add_organisations(organisations);
    table.add_removed_organisations(removedOrganisations);
    table.add_keys(keys);
    table.add_removed_keys(removedKeys);
    table.add_adapter_bases(adapterBases);
    table.add_adapters(adapters);
    table.add_removed_adapters(removedAdapters);
    table.add_servers(servers);
    table.add_removed_servers(removedServers);
    table.add_pools(pools);
    table.add_removed_pools(removedPools);
    table.add_bucket_owners(bucketOwners);
    table.add_removed_bucket_owners(removedBucketOwners);
    table.add_instances(instances);
    table.add_removed_instances(removedInstances);
    return table.Finish();
}

Increment unpackIncrement(WireReader &reader, const wire::Increment &table)
{
    Increment increment;
    increment.from = table.from();
    increment.to = table.to();
    increment.version = table.version();
    increment.loadRate = table.load_rate();
    increment.loadsInFlight = table.loads_in_flight();
    if (table.has_base_models()) {
        increment.baseModels = reader.texts(table.base_models());
    }
    if (table.has_routes()) {
        unpackList(reader, table.routes(), increment.routes.emplace());
    }
    unpackList(reader, table.domains(), increment.domains.changed);
    increment.domains.removed = reader.ids<DomainId>(table.removed_domains());
    unpackList(reader, table.organisations(), increment.organisations.changed);
    increment.organisations.removed = reader.ids<OrganisationId>(table.removed_organisations());
    unpackList(reader, table.keys(), increment.keys.changed);
    reader.forEach(table.removed_keys(), [&](const wire::Hash &hash) {
        reader.bytes(hash.bytes(), increment.keys.removed.emplace_back());
    });
    unpackAdapters(reader, table.adapters(), table.adapter_bases(), increment.adapters.changed);
    increment.adapters.removed = reader.ids<AdapterId>(table.removed_adapters());
    unpackList(reader, table.servers(), increment.servers.changed);
    increment.servers.removed = reader.ids<ServerId>(table.removed_servers());
    unpackList(reader, table.pools(), increment.pools.changed);
    increment.pools.removed = reader.ids<PoolId>(table.removed_pools());
    unpackList(reader, table.bucket_owners(), increment.bucketOwners.changed);
    increment.bucketOwners.removed = reader.ids<DomainId>(table.removed_bucket_owners());
    unpackList(reader, table.instances(), increment.instances.changed);
    increment.instances.removed = reader.ids<InstanceId>(table.removed_instances());
    return increment;
}

} // namespace mimosahollow::control
