// Package admin implements the operator API.
package admin

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/gypsumhook/gypsum"
	"github.com/gypsumhook/gypsum/admin/operatorv1"
	"github.com/gypsumhook/gypsum/admin/operatorv1/operatorv1connect"
	"github.com/gypsumhook/gypsum/config"
	"github.com/gypsumhook/gypsum/core"
)

// Server serves the operator API of one daemon. It implements
// operatorv1connect.OperatorServiceHandler.
type Server struct {
	Core *core.Core
}

// Handler returns the HTTP handler of the operator API and the path to mount it at.
func (s *Server) Handler() (path string, handler http.Handler) {
	return operatorv1connect.NewOperatorServiceHandler(s)
}

// applyChange submits a change with the ID, operator and base revision of message, and returns
// the revision at which it was accepted. A negative base revision means the revision in
// force on this daemon.
func (s *Server) applyChange(ctx context.Context, message *operatorv1.Change, change *gypsum.Change) (*connect.Response[operatorv1.ChangeResponse], error) {
	change.ID = message.GetChangeId()
	change.Operator = message.GetOperator()
	change.BaseRevision = gypsum.Revision(message.GetBaseRevision())
	if change.BaseRevision < 0 {
		current, err := s.currentConfig()
		if err != nil {
			return nil, err
		}
		change.BaseRevision = current.ObjectRevision(change)
	}
	revision, err := s.Core.ConfigEditor().ApplyChange(ctx, change)
	s.Core.Logger.Info("change decided", "change", change.ID, "kind", change.Kind, "name", change.Name,
		"operator", change.Operator, "base", change.BaseRevision, "revision", revision, "error", err)
	if err != nil {
		return nil, connect.NewError(connectCode(err), err)
	}
	return connect.NewResponse(&operatorv1.ChangeResponse{Revision: int64(revision)}), nil
}

// connectCode returns the Connect code for the error of a change.
func connectCode(err error) connect.Code {
	var conflict *config.ConflictError
	switch {
	case errors.As(err, &conflict):
		return connect.CodeAborted
	case errors.Is(err, config.ErrInvalid):
		return connect.CodeInvalidArgument
	}
	return connect.CodeUnavailable
}

// currentConfig returns the configuration in force, or a CodeUnavailable error if there is none
// yet.
func (s *Server) currentConfig() (*config.Config, error) {
	current := s.Core.View().Config
	if current == nil {
		return nil, connect.NewError(connect.CodeUnavailable, fmt.Errorf("this host has no configuration yet"))
	}
	return current, nil
}

// PutService creates or changes a service.
func (s *Server) PutService(ctx context.Context, request *connect.Request[operatorv1.PutServiceRequest]) (*connect.Response[operatorv1.ChangeResponse], error) {
	spec := toServiceSpec(request.Msg.GetService())
	return s.applyChange(ctx, request.Msg.GetChange(), &gypsum.Change{
		Kind: gypsum.ChangePutService, Name: string(spec.Name), Service: spec,
	})
}

// DeleteService deletes a service.
func (s *Server) DeleteService(ctx context.Context, request *connect.Request[operatorv1.DeleteRequest]) (*connect.Response[operatorv1.ChangeResponse], error) {
	return s.applyChange(ctx, request.Msg.GetChange(), &gypsum.Change{Kind: gypsum.ChangeDeleteService, Name: request.Msg.GetName()})
}

// PutPlan creates or changes a rollout plan.
func (s *Server) PutPlan(ctx context.Context, request *connect.Request[operatorv1.PutPlanRequest]) (*connect.Response[operatorv1.ChangeResponse], error) {
	spec := toPlanSpec(request.Msg.GetPlan())
	return s.applyChange(ctx, request.Msg.GetChange(), &gypsum.Change{Kind: gypsum.ChangePutPlan, Name: string(spec.Name), Plan: spec})
}

// DeletePlan deletes a rollout plan.
func (s *Server) DeletePlan(ctx context.Context, request *connect.Request[operatorv1.DeleteRequest]) (*connect.Response[operatorv1.ChangeResponse], error) {
	return s.applyChange(ctx, request.Msg.GetChange(), &gypsum.Change{Kind: gypsum.ChangeDeletePlan, Name: request.Msg.GetName()})
}

// Drain takes a backend server out of use: it gets no new calls until Resume.
func (s *Server) Drain(ctx context.Context, request *connect.Request[operatorv1.DrainRequest]) (*connect.Response[operatorv1.ChangeResponse], error) {
	return s.applyChange(ctx, request.Msg.GetChange(), &gypsum.Change{Kind: gypsum.ChangeDrainBackend, Name: request.Msg.GetBackend()})
}

// Resume puts a drained backend server back into use.
func (s *Server) Resume(ctx context.Context, request *connect.Request[operatorv1.DrainRequest]) (*connect.Response[operatorv1.ChangeResponse], error) {
	return s.applyChange(ctx, request.Msg.GetChange(), &gypsum.Change{Kind: gypsum.ChangeResumeBackend, Name: request.Msg.GetBackend()})
}

// ListServices returns the services in force.
func (s *Server) ListServices(context.Context, *connect.Request[operatorv1.ListRequest]) (*connect.Response[operatorv1.ListServicesResponse], error) {
	current, err := s.currentConfig()
	if err != nil {
		return nil, err
	}
	response := &operatorv1.ListServicesResponse{Revision: int64(current.Revision)}
	for _, service := range current.Services {
		response.Services = append(response.Services, toServiceMessage(&service))
	}
	slices.SortFunc(response.Services, func(a, b *operatorv1.Service) int { return cmp.Compare(a.Name, b.Name) })
	return connect.NewResponse(response), nil
}

// ListPlans returns the rollout plans in force.
func (s *Server) ListPlans(context.Context, *connect.Request[operatorv1.ListRequest]) (*connect.Response[operatorv1.ListPlansResponse], error) {
	current, err := s.currentConfig()
	if err != nil {
		return nil, err
	}
	response := &operatorv1.ListPlansResponse{Revision: int64(current.Revision)}
	for _, plan := range current.Plans {
		response.Plans = append(response.Plans, toPlanMessage(&plan))
	}
	slices.SortFunc(response.Plans, func(a, b *operatorv1.Plan) int { return cmp.Compare(a.Name, b.Name) })
	return connect.NewResponse(response), nil
}

// GetStatus returns the members of the fleet and the backend servers. The status of a
// backend server comes from a member that is alive.
func (s *Server) GetStatus(ctx context.Context, _ *connect.Request[operatorv1.GetStatusRequest]) (*connect.Response[operatorv1.GetStatusResponse], error) {
	current, err := s.currentConfig()
	if err != nil {
		return nil, err
	}
	response := &operatorv1.GetStatusResponse{Revision: int64(current.Revision), LogDown: s.Core.LogUnavailable()}
	for _, status := range s.Core.AllMembers(ctx) {
		member := status.Member
		response.Members = append(response.Members, &operatorv1.Member{
			Host: string(member.ID), Address: member.Address, DataCentre: string(member.Location.DataCentre),
			Region: string(member.Location.Region), State: string(status.State),
			Incarnation: int64(member.Incarnation), Revision: int64(member.Revision),
		})
		if status.State != gypsum.MemberAlive {
			continue
		}
		for _, backend := range member.Backends {
			_, drained := current.Drained[backend.ID]
			response.Backends = append(response.Backends, &operatorv1.Backend{
				Backend: string(backend.ID), Owner: string(member.ID), Running: int32(backend.Running), Queued: int32(backend.Queued),
				Slots: int32(backend.Slots), WeightVersion: int64(backend.Version), Leaving: backend.Leaving, Down: backend.Down,
				Swapping: backend.LoadingWeights, Drained: drained,
			})
		}
	}
	slices.SortFunc(response.Backends, func(a, b *operatorv1.Backend) int { return cmp.Compare(a.Backend, b.Backend) })
	return connect.NewResponse(response), nil
}

// toServiceSpec converts a message to a service spec.
func toServiceSpec(message *operatorv1.Service) *gypsum.ServiceSpec {
	return &gypsum.ServiceSpec{
		Name: gypsum.ServiceName(message.GetName()), Kind: gypsum.HostKind(message.GetKind()), Model: message.GetModel(),
		DefaultTimeout: message.GetDefaultTimeout().AsDuration(), MaxQueue: int(message.GetMaxQueue()),
		MaxConcurrentLoads: int(message.GetMaxAway()), CrashLimit: int(message.GetCrashLimit()),
		FollowWeights: message.GetFollowWeights(), EnforcesFencing: message.GetFenced(),
	}
}

func toServiceMessage(service *config.Service) *operatorv1.Service {
	spec := &service.Spec
	return &operatorv1.Service{
		Name: string(spec.Name), Kind: string(spec.Kind), Model: spec.Model, DefaultTimeout: durationpb.New(spec.DefaultTimeout),
		MaxQueue: int32(spec.MaxQueue), MaxAway: int32(spec.MaxConcurrentLoads), CrashLimit: int32(spec.CrashLimit),
		FollowWeights: spec.FollowWeights, Fenced: spec.EnforcesFencing, Revision: int64(service.Revision),
	}
}

// toPlanSpec converts a message to a plan spec.
func toPlanSpec(message *operatorv1.Plan) *gypsum.PlanSpec {
	return &gypsum.PlanSpec{
		Name: gypsum.PlanName(message.GetName()), Service: gypsum.ServiceName(message.GetService()),
		Scorer: gypsum.ServiceName(message.GetScorer()), Prompts: message.GetPrompts(), Groups: int(message.GetGroups()),
		GroupSize: int(message.GetGroupSize()), MaxTokens: int(message.GetMaxTokens()), MaxStaleness: int(message.GetMaxStaleness()),
		MaxStepsAhead: int(message.GetAhead()), SampleTimeout: message.GetSampleTimeout().AsDuration(), Share: int(message.GetShare()),
		IdleWeight: message.GetIdleWeight(), StalenessWeight: message.GetStalenessWeight(),
	}
}

func toPlanMessage(plan *config.Plan) *operatorv1.Plan {
	spec := &plan.Spec
	return &operatorv1.Plan{
		Name: string(spec.Name), Service: string(spec.Service), Scorer: string(spec.Scorer), Prompts: spec.Prompts,
		Groups: int32(spec.Groups), GroupSize: int32(spec.GroupSize), MaxTokens: int32(spec.MaxTokens),
		MaxStaleness: int32(spec.MaxStaleness), Ahead: int32(spec.MaxStepsAhead), SampleTimeout: durationpb.New(spec.SampleTimeout),
		Share: int32(spec.Share), IdleWeight: spec.IdleWeight, StalenessWeight: spec.StalenessWeight, Revision: int64(plan.Revision),
	}
}
