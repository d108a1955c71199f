#include "drivers/cell_codec.h"

#include "drivers/cereal_fields.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/variant.hpp>

#include <ostream>
#include <sstream>
#include <streambuf>

namespace radishvane::cells
{

/// Bound on a time of day, so that sums and differences of times stay in range.
inline constexpr std::int64_t maxWallMilliseconds = std::int64_t{1} << 53U;

template<typename Archive>
void wallField(Archive &archive, WallTime &time)
{
    std::int64_t count = time.time_since_epoch().count();
    archive(count);
    if constexpr (Archive::is_loading::value) {
        if (count < -maxWallMilliseconds || count > maxWallMilliseconds) {
            throw std::out_of_range("time of " + std::to_string(count) + " ms since 1970");
        }
    }
    time = WallTime(Duration(count));
}

template<typename Archive>
void serialize(Archive &archive, Resources &needs)
{
    archive(needs.cpu, needs.memoryMb, needs.accelerators);
}

template<typename Archive>
void serialize(Archive &archive, StepSpec &step)
{
    archive(step.count, step.needs, step.maxPerWorker, step.maxUnavailable);
    durationField(archive, step.estimate);
    durationField(archive, step.tailLatencyTarget);
    listField(archive, step.after);
    for (bool *flag :
         {&step.checkpoints, &step.gang, &step.sameRack, &step.speculative, &step.isService, &step.bestEffort}) {
        flagField(archive, *flag);
    }
    textField(archive, step.label);
    textField(archive, step.rack);
    textField(archive, step.image);
}

/// Bounds on the tasks and on the order of the steps, which later code uses as sizes and indices.
inline void checkSteps(const std::vector<StepSpec> &steps)
{
    std::uint64_t tasks = 0;
    for (std::size_t index = 0; index < steps.size(); ++index) {
        tasks += steps[index].count;
        for (const std::uint32_t earlier : steps[index].after) {
            if (earlier >= index) {
                throw std::out_of_range("step " + std::to_string(index) + " after " + std::to_string(earlier));
            }
        }
    }
    if (tasks > mostItems) {
        throw std::length_error("job of " + std::to_string(tasks) + " tasks");
    }
}

template<typename Archive>
void serialize(Archive &archive, GraphSpec &spec)
{
    textField(archive, spec.payload);
    listField(archive, spec.steps);
    if constexpr (Archive::is_loading::value) {
        checkSteps(spec.steps);
    }
    archive(spec.repeats);
    wallField(archive, spec.firstDue);
    durationField(archive, spec.period);
}

template<typename Archive>
void serialize(Archive &archive, OwnerRow &row)
{
    archive(row.host, row.incarnation, row.link, row.epoch);
}

template<typename Archive>
void serialize(Archive &archive, JobRow &row)
{
    archive(row.id, row.queue, row.team, row.epoch);
    wallField(archive, row.accepted);
    archive(row.spec);
}

template<typename Archive>
void serialize(Archive &archive, TaskProgress &task)
{
    flagField(archive, task.done);
    listField(archive, task.failedRuns);
    archive(task.endedRun);
    textField(archive, task.checkpoint);
}

template<typename Archive>
void serialize(Archive &archive, ProgressRow &row)
{
    archive(row.id);
    enumField(archive, row.state, graphStateNames);
    flagField(archive, row.begun);
    archive(row.firstOpen);
    auto size = static_cast<std::uint32_t>(row.open.size());
    archive(size);
    if (size > mostItems) {
        throw std::length_error("list of " + std::to_string(size) + " items");
    }
    auto place = row.open.begin();
    for (std::uint32_t item = 0; item < size; ++item) {
        std::uint32_t number = place == row.open.end() ? 0 : place->first;
        archive(number);
        OccurrenceProgress &progress = row.open[number];
        auto steps = static_cast<std::uint32_t>(progress.size());
        archive(steps);
        if (steps > mostItems) {
            throw std::length_error("list of " + std::to_string(steps) + " items");
        }
        progress.resize(steps);
        for (std::vector<TaskProgress> &tasks : progress) {
            listField(archive, tasks);
        }
        place = row.open.upper_bound(number);
    }
}

template<typename Archive>
void serialize(Archive &archive, LateStart &start)
{
    archive(start.occurrence, start.step, start.index, start.run, start.worker);
    durationField(archive, start.left);
}

template<typename Archive>
void serialize(Archive &archive, KnownWorker &worker)
{
    archive(worker.id, worker.host, worker.pool, worker.endpoint, worker.startedAtMs);
}

template<typename Archive>
void serialize(Archive &archive, RosterRow &row)
{
    listField(archive, row.workers);
}

template<typename Archive>
void serialize(Archive &archive, WaveRow &row)
{
    archive(row.number);
    flagField(archive, row.completed);
    listField(archive, row.ordered);
}

template<typename Archive>
void serialize(Archive &archive, HostOrdersRow &row)
{
    listField(archive, row.hosts);
}

template<typename Archive>
void serialize(Archive &archive, ReleasedTask &task)
{
    archive(task.index, task.worker);
}

template<typename Archive>
void serialize(Archive &archive, ReleasedStep &step)
{
    archive(step.job, step.occurrence, step.step);
    listField(archive, step.tasks);
}

template<typename Archive>
void serialize(Archive &archive, ReleasedWorker &worker)
{
    archive(worker.id);
    durationField(archive, worker.leaseLeft);
}

template<typename Archive>
void serialize(Archive &archive, ReleaseRow &row)
{
    archive(row.epoch);
    listField(archive, row.workers);
    listField(archive, row.steps);
}

template<typename Archive>
void serialize(Archive &archive, SubmitJob &question)
{
    archive(question.exchange, question.id, question.queue, question.team, question.spec);
}

template<typename Archive>
void serialize(Archive &archive, QueryJob &question)
{
    archive(question.exchange, question.id);
}

template<typename Archive>
void serialize(Archive &archive, CancelJob &question)
{
    archive(question.exchange, question.id);
}

template<typename Archive>
void serialize(Archive &archive, QueryPending &question)
{
    archive(question.exchange, question.queue);
}

template<typename Archive>
void serialize(Archive &archive, RequestHandover &question)
{
    archive(question.exchange, question.host, question.fitness, question.epoch);
}

template<typename Archive>
void serialize(Archive &archive, AnswerCall &answer)
{
    archive(answer.exchange);
    enumField(archive, answer.answer, callAnswerNames);
    enumField(archive, answer.state, graphStateNames);
    archive(answer.pending);
    durationField(archive, answer.retryAfter);
}

} // namespace radishvane::cells

namespace radishvane::drivers
{

namespace
{

/// Stream that only counts what is written to it.
class CountingBuffer : public std::streambuf
{
public:
    std::size_t bytes() const
    {
        return m_bytes;
    }

protected:
    std::streamsize xsputn(const char *, std::streamsize count) override
    {
        m_bytes += static_cast<std::size_t>(count);
        return count;
    }

    int_type overflow(int_type letter) override
    {
        ++m_bytes;
        return traits_type::not_eof(letter);
    }

private:
    std::size_t m_bytes = 0;
};

bool hasMore(std::istream &stream)
{
    return stream.peek() != std::istream::traits_type::eof();
}

/// A recorded start as encoded, with the position of its worker in a list that precedes the starts.
struct EncodedStart
{
    cells::RecordedStart start;
    std::uint32_t worker = 0;
};

template<typename Archive>
void serialize(Archive &archive, EncodedStart &encoded)
{
    cells::RecordedStart &start = encoded.start;
    archive(start.occurrence, start.step, start.index, start.run, encoded.worker);
    flagField(archive, start.isConfirmed);
}

template<typename Archive>
void saveStarts(Archive &archive, const std::vector<cells::RecordedStart> &starts)
{
    std::vector<cells::WorkerId> workers;
    std::map<cells::WorkerId, std::uint32_t> positions;
    std::vector<EncodedStart> encoded;
    encoded.reserve(starts.size());
    for (const cells::RecordedStart &start : starts) {
        const auto [place, isNew] = positions.try_emplace(start.worker, static_cast<std::uint32_t>(workers.size()));
        if (isNew) {
            workers.push_back(start.worker);
        }
        encoded.push_back(EncodedStart{start, place->second});
    }
    listField(archive, workers);
    listField(archive, encoded);
}

template<typename Archive>
void loadStarts(Archive &archive, std::vector<cells::RecordedStart> &starts)
{
    std::vector<cells::WorkerId> workers;
    std::vector<EncodedStart> encoded;
    listField(archive, workers);
    listField(archive, encoded);
    starts.reserve(encoded.size());
    for (EncodedStart &entry : encoded) {
        if (entry.worker >= workers.size()) {
            throw std::out_of_range("worker " + std::to_string(entry.worker) + " of " + std::to_string(workers.size()));
        }
        entry.start.worker = workers[entry.worker];
        starts.push_back(std::move(entry.start));
    }
}

/// Writes the fields that a later version has added to a row. They are left out when they are empty, and an earlier
/// version does not read them.
template<typename Archive, typename Value>
void saveAddedFields(Archive &, Value &)
{
}

template<typename Archive>
void saveAddedFields(Archive &archive, cells::ProgressRow &row)
{
    if (!row.lateStarts.empty() || !row.starts.empty()) {
        listField(archive, row.lateStarts);
    }
    if (!row.starts.empty()) {
        saveStarts(archive, row.starts);
    }
}

template<typename Archive>
void saveAddedFields(Archive &archive, cells::OwnerRow &row)
{
    if (row.startsRecordedSince != 0) {
        archive(row.startsRecordedSince);
    }
}

template<typename Archive>
void saveAddedFields(Archive &archive, cells::RosterRow &row)
{
    std::vector<std::uint32_t> positions;
    for (std::uint32_t position = 0; position < row.workers.size(); ++position) {
        if (row.workers[position].mayHoldLongestLease) {
            positions.push_back(position);
        }
    }
    if (!positions.empty()) {
        listField(archive, positions);
    }
}

template<typename Archive, typename Value>
void loadAddedFields(Archive &, std::istream &, Value &)
{
}

template<typename Archive>
void loadAddedFields(Archive &archive, std::istream &, cells::RosterRow &row)
{
    std::vector<std::uint32_t> positions;
    listField(archive, positions);
    for (const std::uint32_t position : positions) {
        if (position >= row.workers.size()) {
            throw std::out_of_range("worker " + std::to_string(position) + " of " + std::to_string(row.workers.size()));
        }
        row.workers[position].mayHoldLongestLease = true;
    }
}

template<typename Archive>
void loadAddedFields(Archive &archive, std::istream &stream, cells::ProgressRow &row)
{
    listField(archive, row.lateStarts);
    if (hasMore(stream)) {
        loadStarts(archive, row.starts);
    }
}

template<typename Archive>
void loadAddedFields(Archive &archive, std::istream &, cells::OwnerRow &row)
{
    archive(row.startsRecordedSince);
}

template<typename Value>
void write(std::ostream &stream, Value value)
{
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(value);
    saveAddedFields(archive, value);
}

template<typename Value>
std::size_t countBytes(const Value &value)
{
    CountingBuffer buffer;
    std::ostream stream(&buffer);
    write(stream, value);
    return buffer.bytes();
}

template<typename Value>
std::string encode(Value value)
{
    std::ostringstream stream;
    write(stream, std::move(value));
    return stream.str();
}

template<typename Value>
CellDecoded<Value> decode(std::string_view bytes)
{
    if (bytes.size() > mostCellBytes) {
        return LayerError<CellCodecError>{CellCodecError::TooLarge, std::to_string(bytes.size()) + " bytes"};
    }
    try {
        std::istringstream stream{std::string(bytes)};
        cereal::PortableBinaryInputArchive archive(stream);
        Value value;
        archive(value);
        if (hasMore(stream)) {
            loadAddedFields(archive, stream, value);
        }
        return value;
    } catch (const std::exception &error) {
        return LayerError<CellCodecError>{CellCodecError::Malformed, error.what()};
    }
}

} // namespace

std::string encodeRow(const cells::OwnerRow &row)
{
    return encode(row);
}

std::string encodeRow(const cells::JobRow &row)
{
    return encode(row);
}

std::string encodeRow(const cells::ProgressRow &row)
{
    return encode(row);
}

std::string encodeRow(const cells::RosterRow &row)
{
    return encode(row);
}

std::string encodeRow(const cells::WaveRow &row)
{
    return encode(row);
}

std::string encodeRow(const cells::HostOrdersRow &row)
{
    return encode(row);
}

std::string encodeRow(const cells::ReleaseRow &row)
{
    return encode(row);
}

std::size_t encodedSize(const cells::OwnerRow &row)
{
    return countBytes(row);
}

std::size_t encodedSize(const cells::JobRow &row)
{
    return countBytes(row);
}

std::size_t encodedSize(const cells::ProgressRow &row)
{
    return countBytes(row);
}

std::size_t encodedSize(const cells::RosterRow &row)
{
    return countBytes(row);
}

std::size_t encodedSize(const cells::WaveRow &row)
{
    return countBytes(row);
}

std::size_t encodedSize(const cells::HostOrdersRow &row)
{
    return countBytes(row);
}

std::size_t encodedSize(const cells::ReleaseRow &row)
{
    return countBytes(row);
}

std::string encodeQuestion(const LinkQuestion &question)
{
    return encode(question);
}

std::string encodeAnswer(const cells::AnswerCall &answer)
{
    return encode(answer);
}

CellDecoded<cells::OwnerRow> decodeOwnerRow(std::string_view bytes)
{
    return decode<cells::OwnerRow>(bytes);
}

CellDecoded<cells::JobRow> decodeJobRow(std::string_view bytes)
{
    return decode<cells::JobRow>(bytes);
}

CellDecoded<cells::ProgressRow> decodeProgressRow(std::string_view bytes)
{
    return decode<cells::ProgressRow>(bytes);
}

CellDecoded<cells::RosterRow> decodeRosterRow(std::string_view bytes)
{
    return decode<cells::RosterRow>(bytes);
}

CellDecoded<cells::WaveRow> decodeWaveRow(std::string_view bytes)
{
    return decode<cells::WaveRow>(bytes);
}

CellDecoded<cells::HostOrdersRow> decodeHostOrdersRow(std::string_view bytes)
{
    return decode<cells::HostOrdersRow>(bytes);
}

CellDecoded<cells::ReleaseRow> decodeReleaseRow(std::string_view bytes)
{
    return decode<cells::ReleaseRow>(bytes);
}

CellDecoded<LinkQuestion> decodeQuestion(std::string_view bytes)
{
    return decode<LinkQuestion>(bytes);
}

CellDecoded<cells::AnswerCall> decodeAnswer(std::string_view bytes)
{
    return decode<cells::AnswerCall>(bytes);
}

} // namespace radishvane::drivers
